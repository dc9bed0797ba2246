export * from './FrameCodec.js';
export * from './PeerClient.js';
export * from './PeerConnection.js';
export * from './PeerServer.js';
export * from './peerMessages.js';
export * from './RequestAttempts.js';
export * from './StoreClient.js';
export { StoreSubscription, type StoreClientHandlers } from './StoreSubscription.js';
export * from './OperatorServer.js';
export * from './sharedInstances.js';
export * from './readBody.js';
export * from './writeProblem.js';
export { heldKinds, type HeldBytes, type HeldKind } from './httpConnections/HeldMemory.js';
export type { HttpConnection } from './httpConnections/HttpConnection.js';
export {
  HttpConnections,
  type ConnectionLimits,
  type HttpConnectionsOptions,
} from './httpConnections/HttpConnections.js';
export { TrackedResponse } from './httpConnections/TrackedResponse.js';
export * from './authorizeOperator.js';
export * from './unconfirmedChange.js';
export * from './digestKey.js';
export { openTunnel, type TunnelOptions } from './tunnels/openTunnel.js';
export { TunnelServer, type TunnelServerOptions } from './tunnels/TunnelServer.js';
