/**
 * One connection of a caller. Its input is parsed only while few of its requests wait for their answers.
 */
import type { Socket } from 'node:net';
import type { HornbeampondError } from '@hornbeampond/schema';
import { formatRefusal } from './formatRefusal.js';
import { InputGate } from './InputGate.js';
import {
  observeResponses,
  type ResponseObserver,
  type TrackedResponse,
} from './TrackedResponse.js';

/** A caller that sends more requests ahead has the others read once answers have gone. */
const MAX_WAITING_REQUESTS = 16;

/**
 * Input that is discarded before a connection is no longer read. It is read up to then so that callers
 * which leave are noticed.
 */
const MAX_DISCARDED_BYTES = 1024 * 1024;

export interface HttpConnectionOptions {
  readonly socket: Socket;
  /** Called once for each connection whose input is refused. */
  onRefused(error: HornbeampondError): void;
}

/** False while the body is read: an error is then one of the request itself. */
function isOpenAnswer({ req, headersSent }: TrackedResponse): boolean {
  return req.complete || headersSent;
}

export class HttpConnection implements ResponseObserver {
  /** Responses that are not closed, in the order of their requests. */
  private readonly responses = new Set<TrackedResponse>();

  private readonly gate: InputGate;

  private latest: TrackedResponse | undefined;

  private isRefused = false;

  constructor(private readonly options: HttpConnectionOptions) {
    const { socket } = options;
    observeResponses(socket, this);
    this.gate = new InputGate({ socket, canParse: () => this.canParse });
    socket.once('close', () => this.handleClose());
  }

  /** True while the body of the latest request is not complete. */
  get isReadingBody(): boolean {
    return this.latest !== undefined && !this.latest.req.complete;
  }

  private get canParse(): boolean {
    return this.responses.size < MAX_WAITING_REQUESTS || this.isReadingBody;
  }

  onResponse(response: TrackedResponse): void {
    this.latest = response;
    this.responses.add(response);
    response.once('close', () => this.handleResponseClose(response));
  }

  /** Refuses input that cannot be read as a request. */
  refuse(error: HornbeampondError): void {
    const { socket, onRefused } = this.options;
    if (this.isRefused) return;
    this.isRefused = true;
    onRefused(error);
    this.gate.end();
    if (!socket.writable) return;
    this.discardInput();
    // Its caller would read the refusal as the answer that is open.
    const lastAnswer = [...this.responses].filter(isOpenAnswer).at(-1);
    if (lastAnswer === undefined) {
      socket.end(formatRefusal(error));
    } else if (socket.readableEnded) {
      // The caller has left within a head.
      socket.end();
    } else {
      if (!lastAnswer.headersSent) lastAnswer.setHeader('connection', 'close');
      lastAnswer.once('finish', () => socket.destroySoon());
    }
  }

  private handleResponseClose(response: TrackedResponse): void {
    if (!this.responses.delete(response)) return;
    if (this.latest === response && response.req.complete) this.latest = undefined;
    this.gate.continue();
  }

  private handleClose(): void {
    this.gate.end();
    [...this.responses].forEach((response) => response.closeUnsent());
  }

  /** Takes the input away from Node's parser, which would report an error for each piece of it. */
  private discardInput(): void {
    const { socket } = this.options;
    let discardedBytes = 0;
    socket.removeAllListeners('data');
    socket.on('data', ({ length }: Buffer) => {
      discardedBytes += length;
      if (discardedBytes > MAX_DISCARDED_BYTES) socket.pause();
    });
    // Node closes a connection that its caller has closed, but not after an error of its parser.
    socket.on('end', () => socket.end());
    // The gate may have paused it.
    socket.resume();
  }
}
