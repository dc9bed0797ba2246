/** Accepts framed connections from other processes of the system. */
import { createServer, type AddressInfo, type Server } from 'node:net';
import { HornbeampondError, type ListenAddress } from '@hornbeampond/schema';
import type { PeerIdentity } from './peerMessages.js';
import { PeerConnection, type PeerContext } from './PeerConnection.js';

/** One authenticated connection of a peer. */
export interface PeerSession {
  readonly peer: PeerIdentity;
  push(body: unknown): void;
  /** Sends a frame encoded by `encodeFrame` from `{ type: 'push', body }`. */
  pushEncoded(frame: Buffer): void;
  /** Bytes of this process that wait to be sent to the peer. */
  readonly bytesWaiting: number;
  close(): void;
}

export interface PeerServerHandlers {
  onOpen?(session: PeerSession): void;
  onRequest?(session: PeerSession, body: unknown, respond: (response: unknown) => void): void;
  onPush?(session: PeerSession, body: unknown): void;
  onClose?(session: PeerSession): void;
}

export class PeerServer {
  private readonly connections = new Set<PeerConnection>();

  private readonly server: Server;

  constructor(
    private readonly context: PeerContext,
    private readonly handlers: PeerServerHandlers,
  ) {
    this.server = createServer((socket) => {
      let session: PeerSession | undefined;
      const connection: PeerConnection = new PeerConnection(socket, 'server', context, {
        onOpen: (peer) => {
          session = {
            peer,
            push: (body) => connection.push(body),
            pushEncoded: (frame) => connection.sendFrame(frame),
            get bytesWaiting() {
              return connection.bytesWaiting;
            },
            close: () => connection.close(),
          };
          this.handlers.onOpen?.(session);
        },
        onRequest: (body, respond) => {
          if (session !== undefined) this.handlers.onRequest?.(session, body, respond);
        },
        onPush: (body) => {
          if (session !== undefined) this.handlers.onPush?.(session, body);
        },
        onClose: () => {
          this.connections.delete(connection);
          if (session !== undefined) this.handlers.onClose?.(session);
        },
      });
      this.connections.add(connection);
    });
  }

  /** Starts listening and returns the port. */
  async listen({ host, port }: ListenAddress): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (error) => {
        const detail = `cannot listen on ${host}:${port}: ${error.message}`;
        reject(new HornbeampondError('internalError', detail, {}, error));
      });
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.connections.forEach((connection) => connection.close());
    await closed;
  }
}
