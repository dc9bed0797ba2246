/**
 * The callers whose answers this process has not ended, and the only way in which it ends one. Whatever
 * throws while the end is written, the caller is not left waiting: the reducer has forgotten the request
 * by then.
 */
import type { EntryEffect, EntryEvent, EntryEventPayload } from '@hornbeampond/entry-core';
import type { CallerExchange } from './CallerServer.js';

export class OpenExchanges {
  private readonly exchanges = new Map<string, CallerExchange>();

  constructor(
    private readonly options: {
      readonly onCountChange: (count: number) => void;
      readonly dispatch: (payload: EntryEventPayload) => void;
    },
  ) {}

  get size(): number {
    return this.exchanges.size;
  }

  has(requestId: string): boolean {
    return this.exchanges.has(requestId);
  }

  find(requestId: string): CallerExchange | undefined {
    return this.exchanges.get(requestId);
  }

  add(exchange: CallerExchange): void {
    this.exchanges.set(exchange.request.requestId, exchange);
    this.options.onCountChange(this.exchanges.size);
  }

  end(requestId: string, writeEnd: (exchange: CallerExchange) => void): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) return;
    this.exchanges.delete(requestId);
    this.options.onCountChange(this.exchanges.size);
    try {
      writeEnd(exchange);
    } catch (error) {
      exchange.answer.breakOff();
      throw error;
    }
  }

  /** Ends what an effect that could not be performed has left open. */
  endAfterFailedEffect(effect: EntryEffect): void {
    // Nobody waits for other effects, or what they ask for is asked again.
    switch (effect.type) {
      case 'startAttempt': {
        const { attemptId } = effect;
        const failed = { type: 'attemptFailed', failure: 'malformed', sent: 'maybe' } as const;
        this.options.dispatch({ ...failed, attemptId, tokens: 0, answerStarted: false });
        break;
      }
      case 'finishAnswer':
      case 'answerProblem':
      case 'replayAnswer':
        this.end(effect.requestId, ({ answer }) => answer.breakOff());
        break;
      default:
    }
  }

  /** Ends the request of an event that the reducer has failed to handle. */
  endAfterFailedEvent(event: EntryEvent, error: unknown): void {
    if (event.type !== 'requestArrived') return;
    const { requestId } = event.request;
    this.options.dispatch({ type: 'callerGone', requestId });
    this.end(requestId, ({ answer }) => answer.fail(error));
  }
}
