/** Opens a tunnel through another process to a backend server that it reaches. */
import { createConnection, type Socket } from 'node:net';
import { encodeFrame } from '../FrameCodec.js';
import { receiveFrame } from './receiveFrame.js';
import {
  makeTunnelProof,
  type TunnelChallenge,
  type TunnelEnds,
  type TunnelResponse,
} from './tunnelMessages.js';

export interface TunnelOptions extends TunnelEnds {
  /** Where the other process accepts tunnels. */
  readonly address: { readonly host: string; readonly port: number };
  readonly secret: string;
}

async function performHandshake(
  socket: Socket,
  { secret, cluster, client, backendServer }: TunnelOptions,
): Promise<void> {
  const { nonce } = (await receiveFrame(socket)) as TunnelChallenge;
  const ends = { cluster, client, backendServer };
  const proof = makeTunnelProof(secret, ends, nonce);
  socket.write(encodeFrame({ type: 'tunnelRequest', ...ends, proof }));
  const response = (await receiveFrame(socket)) as TunnelResponse;
  if (response.type !== 'tunnelOpened') throw new Error(`tunnel refused: ${response.reason}`);
}

/** Resolves with a connection that carries what is sent to and from the backend server. */
export async function openTunnel(options: TunnelOptions, signal: AbortSignal): Promise<Socket> {
  signal.throwIfAborted();
  const socket = createConnection({ ...options.address, noDelay: true, keepAlive: true });
  const abort = () => socket.destroy(new Error('the tunnel was not opened in time'));
  signal.addEventListener('abort', abort, { once: true });
  try {
    await performHandshake(socket, options);
    return socket;
  } catch (error) {
    socket.destroy();
    throw error;
  } finally {
    signal.removeEventListener('abort', abort);
  }
}
