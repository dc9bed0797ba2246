/**
 * Whether a call is worth nothing once its caller is gone. The outcome of one that was claimed in
 * the log must still be learnt, for its resends; any other is cancelled, so that no backend server
 * works for nobody.
 */
import type { Route } from '@hornbeampond/schema';

export function mayBeCancelled({ idempotent, claimed }: Route): boolean {
  return idempotent || claimed === false;
}
