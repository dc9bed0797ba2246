/**
 * A response that reports its begin and its end to its connection. Node makes one for each request,
 * also for those that it answers itself.
 */
import { ServerResponse, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { HornbeampondError } from '@hornbeampond/schema';

/** What a response tells its connection. */
export interface ResponseObserver {
  onResponse(response: TrackedResponse): void;
  /** Called after each write to a response. */
  onWritten(): void;
}

type Write = (...written: unknown[]) => boolean;
type End = (...written: unknown[]) => void;

const observers = new WeakMap<Socket, ResponseObserver>();

/** Reports the responses of a connection to `observer` from now on. */
export function observeResponses(socket: Socket, observer: ResponseObserver): void {
  observers.set(socket, observer);
}

export class TrackedResponse extends ServerResponse {
  /** Estimated heap that the request takes. */
  heldHeap = 0;

  /** Why the request is not to be taken, if so. */
  refusal: HornbeampondError | undefined;

  private gatheredBytes = 0;

  private readonly observer: ResponseObserver | undefined;

  constructor(request: IncomingMessage, options?: object) {
    super(...([request, options] as unknown as [IncomingMessage]));
    this.observer = observers.get(request.socket);
    this.observer?.onResponse(this);
  }

  /** Bytes of the answer that the process holds: gathered, or written and not taken by the caller yet. */
  get unsentBytes(): number {
    return this.gatheredBytes + this.writableLength;
  }

  /** Says how many bytes of the answer are gathered until it is written. */
  setGatheredBytes(bytes: number): void {
    this.gatheredBytes = bytes;
    this.observer?.onWritten();
  }

  override write(...written: unknown[]): boolean {
    const canTakeMore = (super.write as Write).apply(this, written);
    this.observer?.onWritten();
    return canTakeMore;
  }

  override end(...written: unknown[]): this {
    (super.end as End).apply(this, written);
    this.observer?.onWritten();
    return this;
  }

  /**
   * Ends a response that waited behind others when its connection closed. Node tells only the one that is
   * being written.
   */
  closeUnsent(): void {
    if (this.socket !== null) return;
    this.destroy();
    this.emit('close');
  }
}
