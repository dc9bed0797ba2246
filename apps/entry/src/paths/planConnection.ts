/**
 * Decides when a connection to a backend server is tried directly and when through a tunnel. The first
 * one that is established is used, so a path that hangs costs a part of a second rather than the timeout
 * of the request.
 */
import type { Milliseconds } from '@hornbeampond/schema';

/**
 * What is known of the path from this process to a backend server.
 *
 * - `whole`: nothing speaks against it
 * - `suspect`: a check of it has failed; the server itself may be down
 * - `lost`: the server was reached through another process and not directly
 */
export const pathStates = ['whole', 'suspect', 'lost'] as const;
export type PathState = (typeof pathStates)[number];

/** When to begin, from the start of the connection. */
export interface ConnectionPlan {
  readonly directDelay: Milliseconds;
  readonly tunnelDelay: Milliseconds;
}

/** A direct connection takes round trips of a few milliseconds; a lost packet is resent after 200 ms. */
export const DIRECT_HEAD_START_MILLISECONDS: Milliseconds = 250;

/** Longer than a direct connection takes, so that a path that has come back is used. */
const SUSPECT_HEAD_START_MILLISECONDS: Milliseconds = 50;

/** A process that is short of processor time sees its connections late. */
const HEAD_START_WHILE_SLOW_MILLISECONDS: Milliseconds = 1000;

export function planConnection(state: PathState, isSlow: boolean): ConnectionPlan {
  const headStart = isSlow ? HEAD_START_WHILE_SLOW_MILLISECONDS : DIRECT_HEAD_START_MILLISECONDS;
  switch (state) {
    case 'lost':
      return { directDelay: headStart, tunnelDelay: 0 };
    case 'suspect':
      return { directDelay: 0, tunnelDelay: SUSPECT_HEAD_START_MILLISECONDS };
    default:
      return { directDelay: 0, tunnelDelay: headStart };
  }
}
