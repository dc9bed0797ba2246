/**
 * Whether the configuration allows hedges for a request: its route is idempotent, has a target that is
 * earlier than the deadline and allows several attempts, and its answer is not a stream.
 */
import type { RequestState } from '../requests/RequestState.js';

export function canBeHedged({ route, pool }: Pick<RequestState, 'route' | 'pool'>): boolean {
  const { firstTokenMilliseconds, wholeAnswerMilliseconds, pauseMilliseconds } = route.deadline;
  return (
    route.idempotent &&
    (route.mostAttempts ?? 1) > 1 &&
    firstTokenMilliseconds < wholeAnswerMilliseconds &&
    pauseMilliseconds === undefined &&
    pool.kind === 'plainService' &&
    pool.streams === undefined
  );
}
