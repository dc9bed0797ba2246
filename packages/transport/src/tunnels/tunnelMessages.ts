/**
 * The frames with which a tunnel is opened: the server of tunnels challenges, the client names the
 * backend server that it wants to reach and proves that it knows the secret, and the server answers once it is
 * connected to that server. After that the connection carries the bytes of both ends unchanged.
 */
import { createHmac } from 'node:crypto';

export interface TunnelChallenge {
  readonly type: 'tunnelChallenge';
  readonly nonce: Uint8Array;
}

/** Who wants to reach which backend server. */
export interface TunnelEnds {
  readonly cluster: string;
  /** The process that opens the tunnel. */
  readonly client: string;
  /** Instance of the backend server; its address is known to the process that is asked. */
  readonly backendServer: string;
}

export interface TunnelRequest extends TunnelEnds {
  readonly type: 'tunnelRequest';
  readonly proof: Uint8Array;
}

export type TunnelResponse =
  { readonly type: 'tunnelOpened' } | { readonly type: 'tunnelRefused'; readonly reason: string };

export function makeTunnelProof(
  secret: string,
  { cluster, client, backendServer }: TunnelEnds,
  nonce: Uint8Array,
): Uint8Array {
  const text = JSON.stringify([
    'tunnel',
    cluster,
    client,
    backendServer,
    Buffer.from(nonce).toString('hex'),
  ]);
  return createHmac('sha256', secret).update(text).digest();
}
