/**
 * What backend servers have stated about themselves, to this entry or to others. The newest statement
 * about a server holds, whoever has read it.
 */
import type { EpochMilliseconds, Milliseconds } from '@hornbeampond/schema';

export interface Statement {
  /** When an entry read it, by the clock of that entry. */
  readonly statedAt: EpochMilliseconds;
}

/**
 * How long the end of what a server stated is remembered, so that an older report of another entry does not
 * bring it back.
 */
const ENDED_RETENTION_MILLISECONDS: Milliseconds = 60_000;

export class NewestStatements<Stated extends Statement> {
  /** By instance; servers that have stated nothing lately are missing. */
  private readonly statements = new Map<string, Stated>();

  get(instance: string): Stated | undefined {
    return this.statements.get(instance);
  }

  get size(): number {
    return this.statements.size;
  }

  get values(): Stated[] {
    return [...this.statements.values()];
  }

  get instances(): string[] {
    return [...this.statements.keys()];
  }

  /** Records a statement; returns the one that it replaces, or false if that one is not older. */
  record(instance: string, statement: Stated): Stated | undefined | false {
    const previous = this.statements.get(instance);
    if (previous !== undefined && previous.statedAt >= statement.statedAt) return false;
    this.statements.set(instance, statement);
    return previous;
  }

  /** All statements, for this entry's report to the others. */
  describe(): Readonly<Record<string, Stated>> {
    return Object.fromEntries(this.statements);
  }

  /**
   * When a statement that is read now counts as read: after the one that is known, also if the clock of
   * the entry that read that one is ahead.
   */
  timeOfNext(instance: string, wallNow: EpochMilliseconds): EpochMilliseconds {
    return Math.max(wallNow, (this.statements.get(instance)?.statedAt ?? -Infinity) + 1);
  }

  /** Forgets what ended long ago, and servers that are no longer listed; returns their names. */
  retainOnly(
    isListed: (instance: string) => boolean,
    isInForce: (statement: Stated) => boolean,
    wallNow: EpochMilliseconds,
  ): string[] {
    return this.forget((instance, statement) => {
      const isRecent = wallNow - statement.statedAt < ENDED_RETENTION_MILLISECONDS;
      return !isRecent && !(isInForce(statement) && isListed(instance));
    });
  }

  /** Forgets the statements for which this is true; returns the names of their servers. */
  forget(isForgotten: (instance: string, statement: Stated) => boolean): string[] {
    const forgotten = [...this.statements].flatMap(([instance, statement]) =>
      isForgotten(instance, statement) ? [instance] : [],
    );
    forgotten.forEach((instance) => this.statements.delete(instance));
    return forgotten;
  }
}
