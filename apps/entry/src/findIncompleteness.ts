/**
 * Judges whether the answer to an opaque call that has ended without an error is whole. No other place decides
 * this. An answer with neither a length nor chunks ends with its connection, so a part of it looks whole if
 * anything else has ended it.
 */
import type { BodyEnd } from '@hornbeampond/adapters';
import type { IncompleteAnswerReason } from '@hornbeampond/schema';

export interface EndedAnswer {
  readonly bodyEnd: BodyEnd;
  /** True if the answer is a stream and its last event has no end. */
  readonly hasPartialEvent: boolean;
  /** True if its run may have been stopped on order of this entry. */
  readonly mayHaveBeenStopped: boolean;
  /** True if the platform may have ended its backend server by now, as it has announced. */
  readonly mayServerHaveEnded: boolean;
}

/** Returns why the answer is not whole, or undefined if it is. */
export function findIncompleteness({
  bodyEnd,
  hasPartialEvent,
  mayHaveBeenStopped,
  mayServerHaveEnded,
}: EndedAnswer): IncompleteAnswerReason | undefined {
  if (hasPartialEvent) return 'partialEvent';
  if (bodyEnd.shownBy === 'framing') return undefined;
  // A server that closes within the request may reset the connection a moment later.
  if (!bodyEnd.hasSentRequest) return 'requestNotSent';
  if (mayHaveBeenStopped) return 'runStopped';
  // The connections of a process that is ended are closed like those of one that has finished.
  return mayServerHaveEnded ? 'serverEnded' : undefined;
}
