/**
 * Decides whether this entry may offer a request to a brittle backend server now. Entries hear of each
 * other's requests some 50 ms late, and in a burst all of them see the same room. So the room is divided:
 * each entry may use its part of it until it has heard of the others again, and where there is less room
 * than entries, some are drawn anew for each short period.
 */

export interface BrittleOffer {
  /** Concurrency at which the server runs all requests at once, as the entry knows it. */
  readonly limit: number;
  /** Requests of all entries in progress there, as far as they are known. */
  readonly inProgress: number;
  /** Requests of this entry that the others may not have heard of. */
  readonly ownRecent: number;
  /** Requests of this entry in progress there. */
  readonly own: number;
  readonly entryCount: number;
  /** True while nothing is known of the others' work. */
  readonly isCutOff: boolean;
  /** From 0 to 1, another one for each entry, server and period; the same for the whole time of a cut. */
  readonly draw: number;
}

/**
 * Nothing is to wait at a brittle server, since the room for waiting requests may shrink at any time. The
 * rest of the slots takes up what entries send before they hear of each other.
 */
const MAX_USED_FRACTION = 0.8;

function partOf(room: number, entryCount: number, draw: number): number {
  const part = Math.max(0, room) / entryCount;
  return Math.floor(part) + (draw < part % 1 ? 1 : 0);
}

export function mayOfferBrittle(offer: BrittleOffer): boolean {
  const { limit, inProgress, ownRecent, own, entryCount, isCutOff, draw } = offer;
  const capacity = Math.max(1, Math.floor(limit * MAX_USED_FRACTION));
  if (isCutOff) return own < partOf(capacity, entryCount, draw);
  // Own recent requests are in `inProgress` already.
  const room = capacity - (inProgress - ownRecent);
  return inProgress < capacity && ownRecent < partOf(room, entryCount, draw);
}
