/**
 * Backend servers that have turned a request of this entry away and asked it to send nothing for
 * some time. Such a wish concerns this entry alone, so the others are not told. After the rest one
 * request is sent as a trial, and the others wait until it is answered: the server may still refuse
 * all of them.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

interface Rest {
  endsAt: MonotonicMilliseconds;
  /** The attempt that is sent as a trial after the rest. */
  trialAttemptId: string | undefined;
}

export class ServerRests {
  /** By instance, from the wish until a trial after it has succeeded. */
  private readonly rests = new Map<string, Rest>();

  /** How much longer the server wants nothing; 0 if it has not asked for rest. */
  remaining(instance: string, now: MonotonicMilliseconds): Milliseconds {
    return Math.max(0, (this.rests.get(instance)?.endsAt ?? now) - now);
  }

  /** The servers that still want nothing at a given time. */
  listResting(at: MonotonicMilliseconds): string[] {
    return [...this.rests].flatMap(([instance, { endsAt }]) => (endsAt > at ? [instance] : []));
  }

  record(instance: string, until: MonotonicMilliseconds): void {
    const known = this.rests.get(instance);
    const endsAt = Math.max(until, known?.endsAt ?? until);
    this.rests.set(instance, { endsAt, trialAttemptId: undefined });
  }

  /** True for a server that has asked for rest and answered no trial since. */
  isUnproven(instance: string): boolean {
    return this.rests.has(instance);
  }

  /** The trial of a server whose rest is over; undefined if none is under way. */
  trialOf(instance: string): string | undefined {
    return this.rests.get(instance)?.trialAttemptId;
  }

  /** Makes an attempt the trial of its server, if that is to have one. */
  startTrial(instance: string, attemptId: string): void {
    const rest = this.rests.get(instance);
    if (rest !== undefined) rest.trialAttemptId = attemptId;
  }

  /** Ends the rest of a server that has answered its trial. */
  finishTrial(instance: string, attemptId: string): void {
    if (this.trialOf(instance) === attemptId) this.rests.delete(instance);
  }

  /** Forgets the servers that are no longer listed, once their rest is over. */
  retainOnly(isListed: (instance: string) => boolean, now: MonotonicMilliseconds): void {
    this.rests.forEach(({ endsAt }, instance) => {
      if (endsAt <= now && !isListed(instance)) this.rests.delete(instance);
    });
  }
}
