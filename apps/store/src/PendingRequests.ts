/**
 * Requests of clients that wait for the log, by request id: what to do with their fate. A request
 * is answered once.
 */
import type { RequestOutcome } from '@hornbeampond/store-core';
import type { CommandResult, StoreResponse } from '@hornbeampond/schema';

export type Respond = (response: StoreResponse) => void;

interface WaitingRequest {
  readonly respond: Respond;
  /** Makes the response of a request that succeeded; `result` is there for commands. */
  readonly succeed: (result: CommandResult | undefined) => StoreResponse;
}

export class PendingRequests {
  private readonly waiting = new Map<string, WaitingRequest>();

  private count = 0;

  /** Takes a request in and names it. */
  add(respond: Respond, succeed: WaitingRequest['succeed']): string {
    this.count += 1;
    const requestId = String(this.count);
    this.waiting.set(requestId, { respond, succeed });
    return requestId;
  }

  /** Gives a request its fate. */
  complete(requestId: string, outcome: RequestOutcome, result: CommandResult | undefined): void {
    const request = this.waiting.get(requestId);
    if (request === undefined) return;
    this.waiting.delete(requestId);
    switch (outcome.type) {
      case 'committed':
      case 'readable':
        request.respond(request.succeed(result));
        return;
      case 'notLeader':
        request.respond(outcome);
        return;
      case 'unavailable':
        request.respond(outcome);
        return;
      default:
        request.respond({ type: 'unsure', reason: 'leadership was lost' });
    }
  }
}
