/**
 * A store whose disk is new, or that was taken out while it was away, asks the others to be let in,
 * until it is a member and hears of a leader. It votes and counts as a copy only once it has caught
 * up; the leader sees to that.
 */
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { JoiningVoter, StoreRequest } from '@hornbeampond/schema';
import type { StorePeers } from './StorePeers.js';

const REQUEST_INTERVAL_MILLISECONDS = 250;
const REQUEST_TIMEOUT_MILLISECONDS = 2000;

export interface JoinRequestsOptions {
  readonly timers: TimerService;
  readonly peers: StorePeers;
  /** False once this store is a member that follows a leader, or is one. */
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
      // Only the leader carries it out; the answers of all others say nothing new.
      if (client.isOpen) client.request(request, REQUEST_TIMEOUT_MILLISECONDS).catch(() => {});
    });
  }
}
