/**
 * Backend servers that say that they are brittle: one that has to reject more than some requests in a
 * second for want of room falls over. It says so in all its answers; entries tell each other.
 */
import type { EpochMilliseconds, StatedBrittleness } from '@hornbeampond/schema';
import { NewestStatements } from './NewestStatements.js';

export class ServerBrittleness {
  private readonly statements = new NewestStatements<StatedBrittleness>();

  /** Rejections in a second that the server survives; infinite if it is not brittle. */
  at(instance: string): number {
    return this.statements.get(instance)?.survivedRejections ?? Infinity;
  }

  /** When the newest statement of a server was read; undefined if it has made none. */
  statedAt(instance: string): EpochMilliseconds | undefined {
    return this.statements.get(instance)?.statedAt;
  }

  isBrittle(instance: string): boolean {
    return this.at(instance) < Infinity;
  }

  get brittleInstances(): string[] {
    return this.statements.instances.filter((instance) => this.isBrittle(instance));
  }

  timeOfNext(instance: string, wallNow: EpochMilliseconds): EpochMilliseconds {
    return this.statements.timeOfNext(instance, wallNow);
  }

  /** Records a statement; returns the one that it replaces, or false if that one is not older. */
  record(instance: string, stated: StatedBrittleness): StatedBrittleness | undefined | false {
    return this.statements.record(instance, stated);
  }

  /** What this entry knows, for its report to the others. */
  describe(): Readonly<Record<string, StatedBrittleness>> {
    return this.statements.describe();
  }

  retainOnly(isListed: (instance: string) => boolean, wallNow: EpochMilliseconds): void {
    const isInForce = ({ survivedRejections }: StatedBrittleness) => survivedRejections < Infinity;
    this.statements.retainOnly(isListed, isInForce, wallNow);
  }
}
