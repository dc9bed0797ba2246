/**
 * Requests of clients that wait for the log, by request id: what to do with their fate. A request
 * is answered once.
 */
import type { RequestOutcome } from '@hornbeampond/store-core';
import type { CommandResult, StoreResponse } from '@hornbeampond/schema';

export type Respond = (response: StoreResponse) => void;

interface PendingRequest {
  readonly respond: Respond;
  /** Makes the response of a request that succeeded; `result` is there for commands. */
  readonly makeResponse: (result: CommandResult | undefined) => StoreResponse;
}

export class PendingRequests {
  private readonly requests = new Map<string, PendingRequest>();

  private lastRequestNumber = 0;

  /** Takes a request in and names it. */
  add(respond: Respond, succeed: PendingRequest['makeResponse']): string {
    this.lastRequestNumber += 1;
    const requestId = String(this.lastRequestNumber);
    this.requests.set(requestId, { respond, makeResponse: succeed });
    return requestId;
  }

  /** Gives a request its fate. */
  complete(requestId: string, outcome: RequestOutcome, result: CommandResult | undefined): void {
    const request = this.requests.get(requestId);
    if (request === undefined) return;
    this.requests.delete(requestId);
    switch (outcome.type) {
      case 'committed':
      case 'readable':
        request.respond(request.makeResponse(result));
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
