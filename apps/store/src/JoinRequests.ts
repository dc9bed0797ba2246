/**
 * Asks the other stores at regular intervals to add this one to the cluster, until `isNeeded` returns
 * false. This serves stores with a new disk and stores that were removed while they were unreachable.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { JoiningVoter, StoreRequest } from '@hornbeampond/schema';
import type { StorePeers } from './StorePeers.js';

const REQUEST_INTERVAL_MILLISECONDS = 250;
const REQUEST_TIMEOUT_MILLISECONDS = 2000;

export interface JoinRequestsOptions {
  readonly timers: TimerService;
  readonly peers: StorePeers;
  /** False once this store is a member and knows a leader, or cannot join. */
  isNeeded(): boolean;
  describeSelf(): JoiningVoter;
}

export class JoinRequests {
  private cancelTimer: Unsubscribe = () => {};

  constructor(private readonly options: JoinRequestsOptions) {}

  start(): void {
    this.stop();
    this.cancelTimer = this.options.timers.every(REQUEST_INTERVAL_MILLISECONDS, () =>
      this.sendRequests(),
    );
  }

  stop(): void {
    this.cancelTimer();
  }

  private sendRequests(): void {
    if (!this.options.isNeeded()) {
      this.stop();
      return;
    }
    const request: StoreRequest = { type: 'addVoter', voter: this.options.describeSelf() };
    this.options.peers.all.forEach((client) => {
      // Only the leader can add this store. Failures need no handling, since the request is repeated.
      if (client.isOpen) client.request(request, REQUEST_TIMEOUT_MILLISECONDS).catch(() => {});
    });
  }
}
