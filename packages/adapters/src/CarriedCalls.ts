/**
 * Remembers the IDs of the calls that each kept connection has carried. A call with one of these IDs needs
 * another connection: there, an answer to the earlier call that comes again would name it too.
 */
import type { Socket } from 'node:net';

/** Bounds what is remembered of a connection; after so many calls it is replaced. */
const MAX_CALLS_OF_CONNECTION = 256;

/** Callers choose their IDs. */
const MAX_ID_LENGTH = 64;

export class CarriedCalls {
  private readonly idsByConnection = new WeakMap<Socket, Set<string>>();

  /** False if the ID is too long to be remembered. */
  static canRemember(callId: string): boolean {
    return callId.length <= MAX_ID_LENGTH;
  }

  add(connection: Socket, callId: string): void {
    const ids = this.idsByConnection.get(connection);
    if (ids === undefined) this.idsByConnection.set(connection, new Set([callId]));
    else ids.add(callId);
  }

  includes(connection: Socket, callId: string): boolean {
    return this.idsByConnection.get(connection)?.has(callId) === true;
  }

  isFull(connection: Socket): boolean {
    return (this.idsByConnection.get(connection)?.size ?? 0) >= MAX_CALLS_OF_CONNECTION;
  }
}
