/**
 * A plain service's answer, passed on as it is. The answer to a call that may not be repeated is
 * held until it is whole, so that it can be stored for callers who send the call again.
 */
import type { ServerResponse } from 'node:http';
import { HornbeampondError, type StoredAnswer } from '@hornbeampond/schema';
import type { HeaderFields } from '@hornbeampond/adapters';
import { CallerAnswer } from './CallerAnswer.js';

export interface PlainAnswerOptions {
  /** True if the answer is held until it is whole. */
  readonly isBuffered: boolean;
  /** Most bytes of an answer that is held. */
  readonly maxBytes: number;
}

/** Headers of a backend server's answer that speak of its connection, not of the answer. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding']);

export class PlainAnswer extends CallerAnswer {
  private status = 200;

  private headers: Record<string, string | string[]> = {};

  private bufferedChunks: Uint8Array[] = [];

  private bufferedBytes = 0;

  constructor(
    requestId: string,
    response: ServerResponse,
    private readonly options: PlainAnswerOptions,
  ) {
    super(requestId, response);
  }

  /** Takes in the head of the backend server's answer. */
  receiveHead(status: number, headers: HeaderFields): void {
    this.status = status;
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    this.headers = Object.fromEntries(
      Object.entries(headers)
        .filter(([name]) => !hopByHopHeaders.has(name))
        .map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]),
    );
  }

  async writeBytes(bytes: Uint8Array): Promise<void> {
    if (!this.options.isBuffered) {
      this.writeHead();
      await this.write(bytes);
      return;
    }
    this.bufferedBytes += bytes.length;
    if (this.bufferedBytes > this.options.maxBytes) {
      throw new HornbeampondError(
        'answerCut',
        `The answer is above ${this.options.maxBytes} bytes`,
      );
    }
    this.bufferedChunks.push(bytes);
  }

  /** The whole answer, if it was held. */
  get storedAnswer(): StoredAnswer | undefined {
    if (!this.options.isBuffered) return undefined;
    // A stored answer names each header once; only cookies cannot be joined, and are left out.
    const headers = Object.fromEntries(
      Object.entries(this.headers)
        .filter(([name]) => name !== 'set-cookie')
        .map(([name, value]) => [name, typeof value === 'string' ? value : value.join(', ')]),
    );
    return { status: this.status, headers, body: Buffer.concat(this.bufferedChunks) };
  }

  override finish(): void {
    if (this.isClosed) return;
    this.writeHead();
    this.response.end(this.options.isBuffered ? Buffer.concat(this.bufferedChunks) : undefined);
  }

  protected override abort(): void {
    // Without its last chunk a chunked body is known to be cut, whatever the caller reads it with.
    this.response.destroy();
  }

  private writeHead(): void {
    if (this.started) return;
    this.response.writeHead(this.status, { ...this.headers, 'x-request-id': this.requestId });
  }
}
