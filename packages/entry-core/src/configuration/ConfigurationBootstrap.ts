/**
 * Decides which configuration a starting instance begins with. It requests a linearizable read, and
 * the configurations of all peers. The read decides. If no quorum can be reached, the instance
 * waits until every peer has answered or failed, and takes the newest revision: the first answer
 * may be from a lagging peer, and restore a configuration that this data centre has already
 * replaced.
 */
import type { Configuration } from '@hornbeampond/schema';

export interface ConfigurationBootstrap {
  /** Peers that have neither answered nor failed yet. */
  readonly pendingPeers: Set<string>;
  newest: Configuration | undefined;
  /** True once no linearizable read is expected any more. */
  quorumFailed: boolean;
  started: boolean;
}

export type ConfigurationBootstrapEvent =
  | { readonly type: 'quorumRead'; readonly configuration: Configuration }
  | { readonly type: 'quorumFailed' }
  | { readonly type: 'peerAnswered'; readonly peer: string; readonly configuration: Configuration }
  | { readonly type: 'peerFailed'; readonly peer: string }
  /** The time to wait for peers is over; sent by the shell's timer. */
  | { readonly type: 'waitOver' };

export interface StartedEffect {
  readonly type: 'started';
  readonly configuration: Configuration;
  /** True if no quorum confirmed the revision; reported to operators until one does. */
  readonly cutOff: boolean;
}

export function makeConfigurationBootstrap(peers: readonly string[]): ConfigurationBootstrap {
  return { pendingPeers: new Set(peers), newest: undefined, quorumFailed: false, started: false };
}

/** Handles an event; returns a single effect, once the configuration to start with is decided. */
export function reduceConfigurationBootstrap(
  bootstrap: ConfigurationBootstrap,
  event: ConfigurationBootstrapEvent,
): StartedEffect[] {
  if (bootstrap.started) return [];
  recordEvent(bootstrap, event);
  if (event.type === 'quorumRead') return finish(bootstrap, false);
  const isComplete = bootstrap.quorumFailed && bootstrap.pendingPeers.size === 0;
  return isComplete ? finish(bootstrap, true) : [];
}

function recordEvent(bootstrap: ConfigurationBootstrap, event: ConfigurationBootstrapEvent): void {
  if ('configuration' in event) keepNewest(bootstrap, event.configuration);
  if ('peer' in event) bootstrap.pendingPeers.delete(event.peer);
  if (event.type === 'quorumFailed' || event.type === 'waitOver') bootstrap.quorumFailed = true;
  if (event.type === 'waitOver') bootstrap.pendingPeers.clear();
}

function keepNewest(bootstrap: ConfigurationBootstrap, configuration: Configuration): void {
  const isNewer =
    bootstrap.newest === undefined || configuration.revision > bootstrap.newest.revision;
  if (isNewer) bootstrap.newest = configuration;
}

/** Without any answer the instance keeps waiting: it must not serve from empty tables. */
function finish(bootstrap: ConfigurationBootstrap, cutOff: boolean): StartedEffect[] {
  if (bootstrap.newest === undefined) return [];
  bootstrap.started = true;
  return [{ type: 'started', configuration: bootstrap.newest, cutOff }];
}
