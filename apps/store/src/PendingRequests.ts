/**
 * Client requests that wait for consensus, by request id. Each is answered once, with the outcome that
 * consensus reports.
 */
import type { SharedBody } from '@hornbeampond/transport';
import type { RequestOutcome } from '@hornbeampond/store-core';
import type { CommandResult, StoreResponse } from '@hornbeampond/schema';

export type Respond = (response: StoreResponse) => void;

/** A `SharedBody` is an encoded `StoreResponse`. */
export type RespondEncoded = (response: StoreResponse | SharedBody) => void;

interface PendingRequest {
  readonly respond: Respond;
  /** Makes the response to a request that succeeded; only commands have a `result`. */
  readonly makeResponse: (result: CommandResult | undefined) => StoreResponse;
}

export class PendingRequests {
  private readonly requests = new Map<string, PendingRequest>();

  private lastRequestNumber = 0;

  /** Adds a request and returns its id. */
  add(respond: Respond, makeResponse: PendingRequest['makeResponse']): string {
    this.lastRequestNumber += 1;
    const requestId = String(this.lastRequestNumber);
    this.requests.set(requestId, { respond, makeResponse });
    return requestId;
  }

  /** Answers a request according to its outcome. */
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
