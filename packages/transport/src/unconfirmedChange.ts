/** The error for an operator's change that has no result. */
import { HornbeampondError } from '@hornbeampond/schema';
import type { ProposalOutcome } from './StoreClient.js';

/** The outcomes of a change that is not known to have been made. */
export type UnconfirmedOutcome = Exclude<ProposalOutcome['type'], 'result'>;

/**
 * `storeUnavailable` promises that the change was not made and will not be, `changeUnsure` promises
 * nothing.
 *
 * @param change - What the operator ordered, such as "The change".
 */
export function makeUnconfirmedChangeError(
  outcome: UnconfirmedOutcome,
  change: string,
): HornbeampondError {
  if (outcome === 'unavailable') {
    return new HornbeampondError('storeUnavailable', `${change} was not made`);
  }
  return new HornbeampondError('changeUnsure', `${change} may have been made`);
}
