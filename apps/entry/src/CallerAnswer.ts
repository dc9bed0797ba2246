/**
 * Base class for the answer to one caller, written to its HTTP response; each subclass implements
 * one answer format. An answer that could not be finished must not look complete to the caller.
 */
import type { ServerResponse } from 'node:http';
import { once } from 'node:events';
import { HornbeampondError, toProblemDocument, type StoredAnswer } from '@hornbeampond/schema';
import { writeProblem } from '@hornbeampond/transport';

export abstract class CallerAnswer {
  constructor(
    readonly requestId: string,
    protected readonly response: ServerResponse,
  ) {}

  /** Called with true when writing pauses for a slow caller, and with false when the wait ends. */
  onBackpressureChange: (isPaused: boolean) => void = () => {};

  /** True once the head of the answer has been sent. */
  get started(): boolean {
    return this.response.headersSent;
  }

  /** True once the answer has ended or the connection is closed. */
  get isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  /**
   * True once the caller has closed its connection. The response itself is closed some turns of the
   * event loop later.
   */
  get hasCallerLeft(): boolean {
    const { socket } = this.response.req;
    return this.response.destroyed || socket.destroyed || socket.readableEnded;
  }

  /** Number of tokens already sent to the caller; undefined if none or not streamed. */
  get tokensGiven(): number | undefined {
    return undefined;
  }

  /**
   * Status of a backend server's failure answer that the caller gets if the call fails now; undefined
   * if the caller gets an answer of this entry.
   */
  get backendServerStatus(): number | undefined {
    return undefined;
  }

  /** Ends the answer as complete. */
  abstract finish(): void;

  /** Ends a started answer in a way that the caller recognises as incomplete. */
  protected abstract abort(error: unknown): void;

  /** Ends the answer with an error: a problem document if nothing has been sent yet. */
  fail(error: unknown): void {
    if (this.isClosed) return;
    if (this.started) this.abort(error);
    else this.writeProblem(error);
  }

  /**
   * Ends an answer that could not be written, in whatever state it is: by a problem document while nothing
   * has been sent, or else by closing the connection.
   */
  breakOff(): void {
    if (this.isClosed) return;
    const detail = 'The answer of the backend server could not be passed on';
    const error = new HornbeampondError('backendServerFailed', detail);
    try {
      if (this.started) this.abort(error);
      else this.writeProblem(error);
    } catch {
      this.response.destroy();
    }
  }

  protected writeProblem(error: unknown): void {
    writeProblem(this.response, error, this.requestId);
  }

  /** Sends the stored answer of an earlier run of the same call. */
  replay({ status, headers, body }: StoredAnswer): void {
    if (this.isClosed) return;
    const replayHeaders = {
      ...headers,
      'x-request-id': this.requestId,
      'idempotent-replay': 'true',
    };
    this.response.writeHead(status, replayHeaders);
    this.response.end(body);
  }

  /**
   * Writes bytes. If the response's buffer is full, returns a promise that resolves once it has
   * drained or the response is closed.
   */
  protected write(bytes: string | Uint8Array): Promise<void> | undefined {
    if (this.isClosed || this.response.write(bytes)) return undefined;
    return this.waitForDrain();
  }

  private async waitForDrain(): Promise<void> {
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
