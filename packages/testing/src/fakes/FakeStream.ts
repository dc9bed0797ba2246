/** Streams one answer of a fake engine to its caller, and stalls or cuts it where limits say so. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';
import { generateToken } from './generateToken.js';

/** Both limits count only tokens sent by this stream, not those of a run that it resumes. */
export interface FakeStreamLimits {
  readonly stallAfterTokens?: number;
  readonly cutAfterTokens?: number;
}

export interface FakeStreamOptions {
  readonly attemptId: string;
  readonly promptDigest: string;
  readonly promptTokens: number;
  /** Position of the first token to generate; above 0 in a resumed run. */
  readonly startPosition: number;
  /** Position after the last token. */
  readonly endPosition: number;
  readonly model: string;
  readonly readTokenDelay: () => Milliseconds;
  readonly timers: TimerService;
  readonly onToken: () => void;
}

export class FakeStream {
  private readonly controller = new AbortController();

  private limits: FakeStreamLimits = {};

  private onLimitsChanged: () => void = () => {};

  private position: number;

  constructor(private readonly options: FakeStreamOptions) {
    this.position = options.startPosition;
  }

  get attemptId(): string {
    return this.options.attemptId;
  }

  get promptDigest(): string {
    return this.options.promptDigest;
  }

  get promptTokens(): number {
    return this.options.promptTokens;
  }

  /** Tokens of the prompt and the answer in the KV cache of the stream. */
  get computedTokens(): number {
    return this.promptTokens + this.position;
  }

  /** Aborts when the stream is stopped. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  setLimits(limits: FakeStreamLimits): void {
    this.limits = limits;
    this.onLimitsChanged();
  }

  stop(): void {
    this.controller.abort();
  }

  /** Sends the headers, which accept the call. */
  open(response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
  }

  /** Resolves after `delay`, or as soon as the stream is stopped. */
  async wait(delay: Milliseconds): Promise<void> {
    if (delay <= 0 || this.signal.aborted) return;
    let cancel: Unsubscribe = () => {};
    await this.waitUnlessStopped((resolve) => {
      cancel = this.options.timers.after(delay, resolve);
    });
    cancel();
  }

  /** Sends the remaining tokens; resolves true if the answer is complete. */
  async generate(response: ServerResponse): Promise<boolean> {
    while (this.position < this.options.endPosition) {
      await this.wait(this.options.readTokenDelay());
      await this.waitWhileStalled();
      if (this.cutIfDue(response) || this.signal.aborted) break;
      await this.sendToken(response);
    }
    if (this.signal.aborted || this.position < this.options.endPosition) {
      response.end();
      return false;
    }
    this.sendEnd(response);
    return true;
  }

  private get sentTokens(): number {
    return this.position - this.options.startPosition;
  }

  private async waitWhileStalled(): Promise<void> {
    while (!this.signal.aborted && this.sentTokens >= (this.limits.stallAfterTokens ?? Infinity)) {
      await this.waitUnlessStopped((resolve) => {
        this.onLimitsChanged = resolve;
      });
    }
  }

  /** Resolves when `begin` calls `resolve` or the stream is stopped, whichever is first. */
  private async waitUnlessStopped(begin: (resolve: () => void) => void): Promise<void> {
    let resolveOnStop: () => void = () => {};
    await new Promise<void>((resolve) => {
      resolveOnStop = resolve;
      this.signal.addEventListener('abort', resolveOnStop);
      begin(resolve);
    });
    this.signal.removeEventListener('abort', resolveOnStop);
  }

  private cutIfDue(response: ServerResponse): boolean {
    if (this.sentTokens < (this.limits.cutAfterTokens ?? Infinity)) return false;
    // Pending writes are still sent, so the caller receives exactly `cutAfterTokens` tokens.
    response.socket?.destroySoon();
    return true;
  }

  private async sendToken(response: ServerResponse): Promise<void> {
    const content = generateToken(this.promptDigest, this.position);
    this.position += 1;
    const drained = this.sendChunk(response, [{ index: 0, delta: { content } }]);
    this.options.onToken();
    if (drained || this.signal.aborted) return;
    await once(response, 'drain', { signal: this.signal }).catch(() => {});
  }

  private sendEnd(response: ServerResponse): void {
    const usage = { prompt_tokens: this.promptTokens, completion_tokens: this.position };
    this.sendChunk(response, [{ index: 0, delta: {}, finish_reason: 'stop' }], usage);
    // Ends the body in a separate packet after the last event, as many servers do.
    response.write('data: [DONE]\n\n', () => response.end());
  }

  private sendChunk(response: ServerResponse, choices: object[], usage?: object): boolean {
    const { attemptId: id, model } = this.options;
    const chunk = { id, object: 'chat.completion.chunk', model, choices, usage };
    return response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
}
