/**
 * Chooses the configuration that a starting instance begins with, from the result of a linearizable
 * read and the configurations of its peers. A successful read ends the wait. Without a quorum the
 * instance waits until every peer has answered or failed, or the time limit has passed: the first
 * answer could come from a lagging peer and restore a configuration that has already been replaced.
 * Used by the model in measure/src/machineModels; running entries start in EntryProcess.
 */
import type { Configuration } from '@hornbeampond/schema';

export interface ConfigurationBootstrap {
  /** Peers that have neither answered nor failed yet. */
  readonly pendingPeers: Set<string>;
  /** The newest revision received so far, from the read or a peer. */
  newest: Configuration | undefined;
  /**
   * True once the instance no longer waits for the linearizable read; a late result is still used.
   */
  readAbandoned: boolean;
  started: boolean;
}

export type ConfigurationBootstrapEvent =
  | { readonly type: 'quorumRead'; readonly configuration: Configuration }
  | { readonly type: 'quorumFailed' }
  | { readonly type: 'peerAnswered'; readonly peer: string; readonly configuration: Configuration }
  | { readonly type: 'peerFailed'; readonly peer: string }
  /** The time limit for the read and for all peer answers has passed. */
  | { readonly type: 'waitOver' };

export interface StartedEffect {
  readonly type: 'started';
  readonly configuration: Configuration;
  readonly startedWithoutRead: boolean;
}

export function makeConfigurationBootstrap(peers: readonly string[]): ConfigurationBootstrap {
  return { pendingPeers: new Set(peers), newest: undefined, readAbandoned: false, started: false };
}

/** Returns the started effect when the configuration is chosen, and no effects before and after. */
export function reduceConfigurationBootstrap(
  bootstrap: ConfigurationBootstrap,
  event: ConfigurationBootstrapEvent,
): StartedEffect[] {
  if (bootstrap.started) return [];
  recordEvent(bootstrap, event);
  if (event.type === 'quorumRead') return startWithNewest(bootstrap, false);
  const isWaitOver = bootstrap.readAbandoned && bootstrap.pendingPeers.size === 0;
  return isWaitOver ? startWithNewest(bootstrap, true) : [];
}

function recordEvent(bootstrap: ConfigurationBootstrap, event: ConfigurationBootstrapEvent): void {
  if ('configuration' in event) keepNewest(bootstrap, event.configuration);
  if ('peer' in event) bootstrap.pendingPeers.delete(event.peer);
  if (event.type === 'quorumFailed' || event.type === 'waitOver') bootstrap.readAbandoned = true;
  if (event.type === 'waitOver') bootstrap.pendingPeers.clear();
}

function keepNewest(bootstrap: ConfigurationBootstrap, configuration: Configuration): void {
  const isNewer =
    bootstrap.newest === undefined || configuration.revision > bootstrap.newest.revision;
  if (isNewer) bootstrap.newest = configuration;
}

/**
 * Starts with the newest configuration received; until there is one, the instance keeps waiting.
 */
function startWithNewest(
  bootstrap: ConfigurationBootstrap,
  startedWithoutRead: boolean,
): StartedEffect[] {
  if (bootstrap.newest === undefined) return [];
  bootstrap.started = true;
  return [{ type: 'started', configuration: bootstrap.newest, startedWithoutRead }];
}
