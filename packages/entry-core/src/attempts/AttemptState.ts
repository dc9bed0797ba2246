/** One attempt of a request at one backend server. */
import type { MonotonicMilliseconds } from '@hornbeampond/schema';

export interface AttemptState {
  readonly attemptId: string;
  readonly requestId: string;
  readonly instance: string;
  readonly startedAt: MonotonicMilliseconds;
  /** True once a byte of the call may have reached the backend server. */
  sent: boolean;
}
