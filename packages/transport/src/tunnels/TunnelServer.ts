/**
 * Accepts tunnels from other processes of the cluster and connects them to the backend servers that
 * they name. A process that has lost its own path to a backend server reaches it through one that has not.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { HornbeampondError, type ListenAddress, type Milliseconds } from '@hornbeampond/schema';
import type { TimerService } from '@hornbeampond/runtime';
import { encodeFrame } from '../FrameCodec.js';
import { areProofsEqual, makeNonce } from '../makeProof.js';
import { joinSockets } from './joinSockets.js';
import { receiveFrame } from './receiveFrame.js';
import { makeTunnelProof, type TunnelRequest, type TunnelResponse } from './tunnelMessages.js';

/** Includes the connection to the backend server. Whoever asks tries another process meanwhile. */
const HANDSHAKE_TIMEOUT_MILLISECONDS: Milliseconds = 600;

/** Each tunnel holds two sockets; a process needs the others for its own callers. */
const MAX_TUNNELS = 500;

export interface TunnelServerOptions {
  readonly cluster: string;
  readonly secret: string;
  readonly timers: TimerService;
  /** Connects to a backend server; rejects for one that is not known here. */
  connect(backendServer: string, signal: AbortSignal): Promise<Socket>;
  /** Called when the number of tunnels changes. */
  onCount?(count: number): void;
  onRefused?(client: string, backendServer: string, reason: string): void;
}

export class TunnelServer {
  private readonly server: Server;

  /** Connections whose handshake has not ended, and both ends of each tunnel. */
  private readonly sockets = new Set<Socket>();

  private tunnelCount = 0;

  constructor(private readonly options: TunnelServerOptions) {
    this.server = createServer({ noDelay: true }, (socket) => {
      socket.on('error', () => socket.destroy());
      this.keepUntilClosed(socket);
      void this.accept(socket);
    });
  }

  /** Number of open tunnels. */
  get count(): number {
    return this.tunnelCount;
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
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }

  private keepUntilClosed(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private async accept(socket: Socket): Promise<void> {
    const controller = new AbortController();
    const { timers } = this.options;
    const cancelTimeout = timers.after(HANDSHAKE_TIMEOUT_MILLISECONDS, () => {
      controller.abort(new Error('no handshake in time'));
      socket.destroy();
    });
    try {
      const request = await this.receiveRequest(socket);
      const target = await this.connect(request, controller.signal);
      this.open(socket, target);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const response: TunnelResponse = { type: 'tunnelRefused', reason };
      if (!socket.destroyed) socket.end(encodeFrame(response));
    } finally {
      cancelTimeout();
    }
  }

  private async receiveRequest(socket: Socket): Promise<TunnelRequest> {
    const { cluster, secret } = this.options;
    const nonce = makeNonce();
    socket.write(encodeFrame({ type: 'tunnelChallenge', nonce }));
    const request = (await receiveFrame(socket)) as TunnelRequest;
    const isFromCluster = request.type === 'tunnelRequest' && request.cluster === cluster;
    if (!isFromCluster || !areProofsEqual(request.proof, makeTunnelProof(secret, request, nonce))) {
      throw new Error('wrong secret or cluster');
    }
    return request;
  }

  private async connect(
    { client, backendServer }: TunnelRequest,
    signal: AbortSignal,
  ): Promise<Socket> {
    try {
      if (this.tunnelCount >= MAX_TUNNELS) throw new Error('too many tunnels');
      return await this.options.connect(backendServer, signal);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.options.onRefused?.(client, backendServer, reason);
      throw error;
    }
  }

  private open(socket: Socket, target: Socket): void {
    if (socket.destroyed) {
      target.destroy();
      return;
    }
    this.keepUntilClosed(target);
    this.changeCount(1);
    target.once('close', () => this.changeCount(-1));
    const response: TunnelResponse = { type: 'tunnelOpened' };
    socket.write(encodeFrame(response));
    joinSockets(socket, target);
  }

  private changeCount(change: number): void {
    this.tunnelCount += change;
    this.options.onCount?.(this.tunnelCount);
  }
}
