/**
 * The answer of a plain service, relayed with its status and without its hop-by-hop headers. The
 * answer to a call that must not be repeated is buffered until it is complete, so that it can be
 * stored for callers that resend the call.
 */
import type { ServerResponse } from 'node:http';
import { HornbeampondError, type StoredAnswer } from '@hornbeampond/schema';
import type { HeaderFields } from '@hornbeampond/adapters';
import { CallerAnswer } from './CallerAnswer.js';

export interface PlainAnswerOptions {
  /** True if nothing is sent before the answer is complete. */
  readonly isBuffered: boolean;
  /** Size limit of a buffered answer. */
  readonly maxBytes: number;
}

export interface PlainAnswerHead {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly isStream?: boolean;
}

/** Headers that apply to the connection to the backend server, not to the answer. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding']);

export class PlainAnswer extends CallerAnswer {
  private status = 200;

  private headers: Record<string, string | string[]> = {};

  private bufferedChunks: Uint8Array[] = [];

  constructor(
    requestId: string,
    response: ServerResponse,
    private readonly options: PlainAnswerOptions,
  ) {
    super(requestId, response);
  }

  /** Handles the head of an attempt's answer; discards what an earlier attempt has buffered. */
  receiveHead({ status, headers }: PlainAnswerHead): void {
    this.status = status;
    this.bufferedChunks = [];
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
    this.bufferedChunks.push(bytes);
  }

  /** Throws if so many bytes of one answer are too many to be buffered. */
  checkSize(bytes: number): void {
    const { isBuffered, maxBytes } = this.options;
    if (!isBuffered || bytes <= maxBytes) return;
    throw new HornbeampondError('answerCut', `The answer is larger than ${maxBytes} bytes`);
  }

  /** The complete answer, if it was buffered. */
  get storedAnswer(): StoredAnswer | undefined {
    if (!this.options.isBuffered) return undefined;
    // A stored answer has one value per header. Cookies cannot be joined, so they are omitted.
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
    // Closing the connection before the last chunk marks a chunked body as incomplete.
    this.response.destroy();
  }

  private writeHead(): void {
    if (this.started) return;
    this.response.writeHead(this.status, { ...this.headers, 'x-request-id': this.requestId });
  }
}
