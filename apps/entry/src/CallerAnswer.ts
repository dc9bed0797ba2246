/**
 * The answer to one caller, as the relay writes it. Its subclasses know the shapes; all of them
 * hold to one rule: an answer that could not be finished never looks complete.
 */
import type { ServerResponse } from 'node:http';
import { once } from 'node:events';
import { toProblemDocument, type StoredAnswer } from '@hornbeampond/schema';
import { writeProblem } from '@hornbeampond/transport';

export abstract class CallerAnswer {
  constructor(
    readonly requestId: string,
    protected readonly response: ServerResponse,
  ) {}

  /** Told when the caller begins to hold the answer up, and when it has caught up. */
  onBackpressureChange: (held: boolean) => void = () => {};

  /** True once a byte of the answer has gone to the caller. */
  get started(): boolean {
    return this.response.headersSent;
  }

  get isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  /** Tokens of a streamed answer that have been written to the caller, if there are any. */
  get tokensGiven(): number | undefined {
    return undefined;
  }

  /** Ends the answer as whole. */
  abstract finish(): void;

  /** Ends a started answer with an error that a caller cannot take for its end. */
  protected abstract abort(error: unknown): void;

  /** Ends the answer with a problem. */
  fail(error: unknown): void {
    if (this.isClosed) return;
    if (this.started) this.abort(error);
    else writeProblem(this.response, error, this.requestId);
  }

  /** Gives an answer that was kept from the first run of the same call. */
  replay({ status, headers, body }: StoredAnswer): void {
    if (this.isClosed) return;
    const replayed = { ...headers, 'x-request-id': this.requestId, 'idempotent-replay': 'true' };
    this.response.writeHead(status, replayed);
    this.response.end(body);
  }

  /** Writes bytes and waits while the caller is slower than the backend server. */
  protected async write(bytes: string | Uint8Array): Promise<void> {
    if (this.isClosed || this.response.write(bytes)) return;
    const abortController = new AbortController();
    const { signal } = abortController;
    this.onBackpressureChange(true);
    try {
      await Promise.race([
        once(this.response, 'drain', { signal }),
        once(this.response, 'close', { signal }),
      ]);
    } finally {
      abortController.abort();
      this.onBackpressureChange(false);
    }
  }

  protected formatError(error: unknown): string {
    return JSON.stringify({ error: toProblemDocument(error, this.requestId) });
  }
}
