/**
 * Proves knowledge of the shared secret without sending it. A proof covers both nonces, both
 * identities and the side that makes it, so it is invalid on another connection, for another
 * identity or for the other side.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { PeerIdentity } from './peerMessages.js';

const NONCE_BYTES = 32;

export function makeNonce(): Uint8Array {
  return randomBytes(NONCE_BYTES);
}

/** Identities and nonces of both ends of one connection. */
export interface Handshake {
  readonly client: PeerIdentity;
  readonly server: PeerIdentity;
  readonly clientNonce: Uint8Array;
  readonly serverNonce: Uint8Array;
}

export function makeProof(
  secret: string,
  side: 'client' | 'server',
  { client, server, clientNonce, serverNonce }: Handshake,
): Uint8Array {
  const text = JSON.stringify([
    side,
    [client.cluster, client.instance, client.dataCentre, client.role],
    [server.cluster, server.instance, server.dataCentre, server.role],
    Buffer.from(clientNonce).toString('hex'),
    Buffer.from(serverNonce).toString('hex'),
  ]);
  return createHmac('sha256', secret).update(text).digest();
}

export function areProofsEqual(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}
