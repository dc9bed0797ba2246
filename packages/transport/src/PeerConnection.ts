/**
 * One authenticated, framed connection between two processes of the system.
 *
 * Both ends prove knowledge of the shared secret before requests, pushes and responses are
 * accepted. Both send heartbeats, and a connection on which nothing arrives for several intervals is
 * closed; otherwise one that a network device has dropped without notice would never fail.
 */
import type { Socket } from 'node:net';
import type { MonotonicMilliseconds } from '@hornbeampond/schema';
import type { Logger, Metrics, TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  FrameDecoder,
  MAX_FRAME_BYTES,
  SharedBody,
  encodeFrame,
  encodeFrameAround,
} from './FrameCodec.js';
import {
  UNANSWERED_REQUEST_ID,
  type HandshakeMessage,
  type PeerIdentity,
  type PeerMessage,
  type SessionMessage,
} from './peerMessages.js';
import { everyShared } from './SharedIntervals.js';
import { makeNonce, makeProof, areProofsEqual, type Handshake } from './makeProof.js';

/** Identity and services shared by all connections of a process. */
export interface PeerContext {
  readonly identity: PeerIdentity;
  readonly secret: string;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics?: Metrics;
  /** Interval between heartbeats. */
  readonly heartbeatMilliseconds?: number;
}

const DEFAULT_HEARTBEAT_MILLISECONDS = 1000;

/** A connection is closed when more heartbeat intervals than this pass without a byte received. */
const MAX_HEARTBEATS_WITHOUT_DATA = 4;

/** Keeps an unauthenticated peer from filling memory; handshake frames are smaller. */
const MAX_HANDSHAKE_FRAME_BYTES = 4096;

/** A handshake that takes more heartbeat intervals than this fails, even if bytes keep arriving. */
const MAX_HANDSHAKE_HEARTBEATS = 5;

/** A connection is closed when more bytes than this wait for a slow peer. */
const MAX_SEND_BUFFER_BYTES = 128 * 1024 * 1024;

/** Heartbeats and answers to reports are smaller. */
const MIN_BULK_BYTES = 512;

export interface PeerConnectionHandlers {
  onOpen(peer: PeerIdentity): void;
  onRequest(body: unknown, respond: (response: unknown) => void): void;
  onPush(body: unknown): void;
  /** Called once, whether or not the connection was ever open. */
  onClose(): void;
}

type ExpectedMessage = 'hello' | 'challenge' | 'proof' | 'welcome' | 'session';

export class PeerConnection {
  private readonly decoder = new FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);

  private readonly nonce = makeNonce();

  private expected: ExpectedMessage;

  private handshake: Handshake | undefined;

  private peerIdentity: PeerIdentity | undefined;

  private readonly responseHandlers = new Map<number, (response: unknown) => void>();

  private nextRequestId = UNANSWERED_REQUEST_ID + 1;

  private heartbeatsWithoutData = 0;

  private heartbeatsBeforeOpen = 0;

  private wroteSinceHeartbeat = false;

  private closed = false;

  /** When more bytes than those of a heartbeat or a short answer were last read at once. */
  bulkReceivedAt: MonotonicMilliseconds;

  bytesReceived = 0;

  private readonly stopHeartbeats: Unsubscribe;

  constructor(
    private readonly socket: Socket,
    private readonly side: 'client' | 'server',
    private readonly context: PeerContext,
    private readonly handlers: PeerConnectionHandlers,
  ) {
    this.expected = side === 'server' ? 'hello' : 'challenge';
    this.bulkReceivedAt = context.timers.monotonicNow();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receiveData(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
    const interval = context.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS;
    this.stopHeartbeats = everyShared(context.timers, interval, () => this.handleHeartbeatTimer());
  }

  get isOpen(): boolean {
    return this.expected === 'session' && !this.closed;
  }

  /** Bytes written here that the operating system has not taken yet. */
  get bytesWaiting(): number {
    return this.socket.writableLength;
  }

  get peer(): PeerIdentity | undefined {
    return this.peerIdentity;
  }

  /** Starts the handshake; called by the client once its socket is connected. */
  startHandshake(): void {
    this.write({ type: 'hello', identity: this.context.identity, nonce: this.nonce });
  }

  /** Sends a request; `onResponse` is not called if the connection closes first. Returns the id. */
  request(body: unknown, onResponse: (response: unknown) => void): number {
    const id = this.registerRequest(onResponse);
    this.write({ type: 'request', id, body });
    return id;
  }

  /** Sends a request whose body `encodeSharedBody` has encoded, as `request` does. */
  requestEncoded(body: Buffer, onResponse: (response: unknown) => void): number {
    const id = this.registerRequest(onResponse);
    this.writeFrame(encodeFrameAround({ type: 'request', id }, body));
    return id;
  }

  /** Drops the response to a request, if it still arrives. */
  discardResponse(id: number): void {
    this.responseHandlers.delete(id);
  }

  push(body: unknown): void {
    this.write({ type: 'push', body });
  }

  /** Sends an encoded frame, so that a message to many peers is encoded only once. */
  sendFrame(frame: Buffer): void {
    this.writeFrame(frame);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.stopHeartbeats();
    this.responseHandlers.clear();
    this.socket.destroy();
    this.handlers.onClose();
  }

  private handleHeartbeatTimer(): void {
    this.heartbeatsWithoutData += 1;
    if (this.heartbeatsWithoutData > MAX_HEARTBEATS_WITHOUT_DATA) {
      this.context.logger.write('peerSilent', { peer: this.peerIdentity?.instance });
      this.close();
      return;
    }
    if (this.isOpen) {
      // Any other frame serves as a heartbeat, which saves traffic.
      if (!this.wroteSinceHeartbeat) this.write({ type: 'heartbeat' });
      this.wroteSinceHeartbeat = false;
      return;
    }
    this.heartbeatsBeforeOpen += 1;
    if (this.heartbeatsBeforeOpen > MAX_HANDSHAKE_HEARTBEATS) this.refuse('no handshake in time');
  }

  private registerRequest(onResponse: (response: unknown) => void): number {
    const id = this.nextRequestId;
    this.nextRequestId += 1;
    this.responseHandlers.set(id, onResponse);
    return id;
  }

  private write(message: PeerMessage): void {
    this.writeFrame(encodeFrame(message));
  }

  private writeFrame(frame: Buffer): void {
    if (this.closed) return;
    this.wroteSinceHeartbeat = true;
    this.context.metrics?.count({ metric: 'frames', label: 'out' });
    this.context.metrics?.count({ metric: 'frameBytes', label: 'out', amount: frame.length });
    this.socket.write(frame);
    if (this.bytesWaiting > MAX_SEND_BUFFER_BYTES) this.close();
  }

  private receiveData(chunk: Buffer): void {
    this.heartbeatsWithoutData = 0;
    this.bytesReceived += chunk.length;
    if (chunk.length >= MIN_BULK_BYTES) this.bulkReceivedAt = this.context.timers.monotonicNow();
    this.context.metrics?.count({ metric: 'frameBytes', label: 'in', amount: chunk.length });
    try {
      for (const message of this.decoder.decode(chunk)) {
        this.context.metrics?.count({ metric: 'frames', label: 'in' });
        if (this.closed) return;
        this.handleMessage(message as PeerMessage);
      }
    } catch (error) {
      this.context.logger.write('frameRejected', { reason: String(error) });
      this.close();
    }
  }

  private handleMessage(message: PeerMessage): void {
    if (this.expected === 'session') this.handleSessionMessage(message as SessionMessage);
    else this.handleHandshakeMessage(message as HandshakeMessage);
  }

  private handleSessionMessage(message: SessionMessage): void {
    switch (message.type) {
      case 'request':
        this.handlers.onRequest(message.body, (body) => this.respond(message.id, body));
        return;
      case 'response': {
        const onResponse = this.responseHandlers.get(message.id);
        this.responseHandlers.delete(message.id);
        onResponse?.(message.body);
        return;
      }
      case 'push':
        this.handlers.onPush(message.body);
        return;
      case 'heartbeat':
        return;
      default:
        this.refuse('unexpected message');
    }
  }

  private respond(requestId: number, body: unknown): void {
    if (requestId === UNANSWERED_REQUEST_ID) return;
    if (body instanceof SharedBody) {
      this.writeFrame(encodeFrameAround({ type: 'response', id: requestId }, body.bytes));
    } else {
      this.write({ type: 'response', id: requestId, body });
    }
  }

  private handleHandshakeMessage(message: HandshakeMessage): void {
    if (message.type !== this.expected) {
      this.refuse(`expected ${this.expected}`);
      return;
    }
    switch (message.type) {
      case 'hello':
        this.answerHello(message.identity, message.nonce);
        return;
      case 'challenge':
        this.answerChallenge(message);
        return;
      case 'proof':
        if (!this.isProofValid('client', message.proof)) this.refuse('wrong secret');
        else {
          this.write({ type: 'welcome' });
          this.openSession();
        }
        return;
      case 'welcome':
        this.openSession();
        return;
      default:
        this.refuse('unexpected message');
    }
  }

  private answerHello(client: PeerIdentity, clientNonce: Uint8Array): void {
    const { identity, secret } = this.context;
    if (!this.acceptPeerIdentity(client)) return;
    this.handshake = { client, server: identity, clientNonce, serverNonce: this.nonce };
    this.expected = 'proof';
    const proof = makeProof(secret, 'server', this.handshake);
    this.write({ type: 'challenge', identity, nonce: this.nonce, proof });
  }

  private answerChallenge(challenge: Extract<HandshakeMessage, { type: 'challenge' }>): void {
    const { identity, secret } = this.context;
    const server = challenge.identity;
    if (!this.acceptPeerIdentity(server)) return;
    this.handshake = {
      client: identity,
      server,
      clientNonce: this.nonce,
      serverNonce: challenge.nonce,
    };
    if (!this.isProofValid('server', challenge.proof)) {
      this.refuse('wrong secret');
      return;
    }
    this.expected = 'welcome';
    this.write({ type: 'proof', proof: makeProof(secret, 'client', this.handshake) });
  }

  private acceptPeerIdentity(peer: PeerIdentity): boolean {
    this.peerIdentity = peer;
    if (peer.cluster === this.context.identity.cluster) return true;
    this.refuse('another cluster');
    return false;
  }

  private isProofValid(side: 'client' | 'server', proof: Uint8Array): boolean {
    if (this.handshake === undefined) return false;
    return areProofsEqual(proof, makeProof(this.context.secret, side, this.handshake));
  }

  private openSession(): void {
    this.expected = 'session';
    this.decoder.setMaxFrameBytes(MAX_FRAME_BYTES);
    if (this.peerIdentity !== undefined) this.handlers.onOpen(this.peerIdentity);
  }

  private refuse(reason: string): void {
    this.context.logger.write('peerRefused', {
      peer: this.peerIdentity?.instance,
      side: this.side,
      reason,
    });
    this.close();
  }
}
