/**
 * A response that reports its begin and its end to its connection. Node makes one for each request,
 * also for those that it answers itself.
 */
import { ServerResponse, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** What a response tells its connection. */
export interface ResponseObserver {
  onResponse(response: TrackedResponse): void;
}

const observers = new WeakMap<Socket, ResponseObserver>();

/** Reports the responses of a connection to `observer` from now on. */
export function observeResponses(socket: Socket, observer: ResponseObserver): void {
  observers.set(socket, observer);
}

export class TrackedResponse extends ServerResponse {
  private readonly observer: ResponseObserver | undefined;

  constructor(request: IncomingMessage, options?: object) {
    super(...([request, options] as unknown as [IncomingMessage]));
    this.observer = observers.get(request.socket);
    this.observer?.onResponse(this);
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
