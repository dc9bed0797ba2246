/** Messages of the framed protocol, which treats the bodies of session messages as opaque. */

/** Identity that a process states in the handshake. */
export interface PeerIdentity {
  readonly cluster: string;
  readonly instance: string;
  readonly dataCentre: string;
  readonly role: 'store' | 'entry' | 'controller' | 'operator';
}

export type HandshakeMessage =
  | { readonly type: 'hello'; readonly identity: PeerIdentity; readonly nonce: Uint8Array }
  | {
      readonly type: 'challenge';
      readonly identity: PeerIdentity;
      readonly nonce: Uint8Array;
      readonly proof: Uint8Array;
    }
  | { readonly type: 'proof'; readonly proof: Uint8Array }
  | { readonly type: 'welcome' };

/** Id of requests that need no response; all others have greater ids. */
export const UNANSWERED_REQUEST_ID = 0;

export type SessionMessage =
  | { readonly type: 'request'; readonly id: number; readonly body: unknown }
  | { readonly type: 'response'; readonly id: number; readonly body: unknown }
  | { readonly type: 'push'; readonly body: unknown }
  | { readonly type: 'heartbeat' };

export type PeerMessage = HandshakeMessage | SessionMessage;
