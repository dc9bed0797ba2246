/**
 * Addresses of members that a store has learnt from the answers of others while it joins. An answer may
 * be long out of date, so an address is replaced only by one from an answer that is at least as new.
 */
import type { KnownMembers, ProcessAddress } from '@hornbeampond/schema';

/** Several times the members of the largest deployments; beyond it the oldest are forgotten. */
const MAX_LEARNT_MEMBERS = 32;

type LogPosition = Pick<KnownMembers, 'lastTerm' | 'lastIndex'>;

interface LearntMember {
  readonly address: ProcessAddress;
  /** Of the newest answer that names this member. */
  readonly position: LogPosition;
}

/** Positive if `a` is newer than `b`, 0 if they are equal. */
function comparePositions(a: LogPosition, b: LogPosition): number {
  return a.lastTerm - b.lastTerm || a.lastIndex - b.lastIndex;
}

export class LearntMembers {
  private members = new Map<string, LearntMember>();

  learn(answer: KnownMembers): void {
    const { stores, lastTerm, lastIndex } = answer;
    const position = { lastTerm, lastIndex };
    stores.slice(0, MAX_LEARNT_MEMBERS).forEach((address) => {
      const known = this.members.get(address.instance);
      if (known !== undefined && comparePositions(known.position, position) > 0) return;
      this.members.set(address.instance, { address, position });
    });
    if (this.members.size > MAX_LEARNT_MEMBERS) this.forgetOldest();
  }

  /**
   * The addresses to connect to, beside those in a store's own log. Its own log counts where it is at
   * least as new as the answers that name a member.
   */
  addressesBeside(own: KnownMembers): ProcessAddress[] {
    const ownInstances = new Set(own.stores.map(({ instance }) => instance));
    return [...this.members.values()]
      .filter(
        ({ address, position }) =>
          !ownInstances.has(address.instance) || comparePositions(position, own) > 0,
      )
      .map(({ address }) => address);
  }

  clear(): void {
    this.members.clear();
  }

  private forgetOldest(): void {
    // The sort is stable: of equally new ones those stay that were there before.
    const newestFirst = [...this.members].sort(([, a], [, b]) =>
      comparePositions(b.position, a.position),
    );
    this.members = new Map(newestFirst.slice(0, MAX_LEARNT_MEMBERS));
  }
}
