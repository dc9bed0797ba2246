/** What an entry knows of its own speed. */
import { LoopDelayDetector } from './LoopDelayDetector.js';

export interface SlownessState {
  readonly detector: LoopDelayDetector;
  /** True while the load balancer is asked to send new connections elsewhere. */
  isWithdrawn: boolean;
}

export function makeSlownessState(): SlownessState {
  return { detector: new LoopDelayDetector(), isWithdrawn: false };
}
