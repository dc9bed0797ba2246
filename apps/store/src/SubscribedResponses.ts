/**
 * Keeps the encoded response to a subscription for as long as it is current. After a loss of power all
 * entries subscribe within a second, and encoding the same state for each of them would take a store
 * longer than they wait.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type { InstanceReport, Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { SharedBody } from '@hornbeampond/transport';
import type { Subscribers } from './Subscribers.js';

/** Covers what changes without a push, such as the age of the instance list. */
const MAX_AGE_MILLISECONDS: Milliseconds = 50;

interface EncodedResponse {
  readonly body: SharedBody;
  readonly madeAt: MonotonicMilliseconds;
  /** The pushes that the response includes; later ones reach the subscriber by themselves. */
  readonly pushCount: number;
}

/** Subscribers of one kind get the same response. */
export interface SubscriberKind {
  readonly role: InstanceReport['role'];
  readonly receivesDigests: boolean;
  readonly isStarting: boolean;
}

export class SubscribedResponses {
  private readonly responses = new Map<string, EncodedResponse>();

  constructor(
    private readonly timers: TimerService,
    private readonly subscribers: Subscribers,
  ) {}

  getOrMake(
    { role, receivesDigests, isStarting }: SubscriberKind,
    makeResponse: () => unknown,
  ): SharedBody {
    const key = `${role}/${receivesDigests}/${isStarting}`;
    const now = this.timers.monotonicNow();
    const { pushCount } = this.subscribers;
    const known = this.responses.get(key);
    if (known?.pushCount === pushCount && now - known.madeAt <= MAX_AGE_MILLISECONDS) {
      return known.body;
    }
    const body = new SharedBody(makeResponse());
    this.responses.set(key, { body, madeAt: now, pushCount });
    return body;
  }
}
