/**
 * The configuration that a starting instance begins with. It asks for a linearizable read, and all
 * peers for what they know. The read settles it. Where no quorum can be reached, the instance is
 * cut off, and waits until every peer has answered or failed before it takes the newest revision:
 * the first answer alone may come from a laggard, and bring back what this data centre has left
 * behind.
 */
import type { Configuration } from '@hornbeampond/schema';

export interface ConfigurationBootstrap {
  /** Peers whose answer is still awaited. */
  readonly pendingPeers: Set<string>;
  newest: Configuration | undefined;
  /** True once no linearizable read is awaited any more. */
  quorumFailed: boolean;
  started: boolean;
}

export type ConfigurationBootstrapEvent =
  | { readonly type: 'quorumRead'; readonly configuration: Configuration }
  | { readonly type: 'quorumFailed' }
  | { readonly type: 'peerAnswered'; readonly peer: string; readonly configuration: Configuration }
  | { readonly type: 'peerFailed'; readonly peer: string }
  /** The longest wait for peers is over; the shell's timer sends it. */
  | { readonly type: 'waitOver' };

export interface StartedEffect {
  readonly type: 'started';
  readonly configuration: Configuration;
  /** True if no quorum confirmed the revision; reported to operators until one does. */
  readonly cutOff: boolean;
}

/** Starts to ask these peers. */
export function makeConfigurationBootstrap(peers: readonly string[]): ConfigurationBootstrap {
  return { pendingPeers: new Set(peers), newest: undefined, quorumFailed: false, started: false };
}

/** Notes an answer; the one effect comes once it is known what to start with. */
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

/** With no answer at all the instance goes on waiting: it must not serve from empty tables. */
function finish(bootstrap: ConfigurationBootstrap, cutOff: boolean): StartedEffect[] {
  if (bootstrap.newest === undefined) return [];
  bootstrap.started = true;
  return [{ type: 'started', configuration: bootstrap.newest, cutOff }];
}
