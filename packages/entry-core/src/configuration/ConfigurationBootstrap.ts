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
  readonly awaited: Set<string>;
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
  return { awaited: new Set(peers), newest: undefined, quorumFailed: false, started: false };
}

/** Notes an answer; the one effect comes once it is known what to start with. */
export function reduceConfigurationBootstrap(
  start: ConfigurationBootstrap,
  event: ConfigurationBootstrapEvent,
): StartedEffect[] {
  if (start.started) return [];
  noteEvent(start, event);
  if (event.type === 'quorumRead') return begin(start, false);
  const isComplete = start.quorumFailed && start.awaited.size === 0;
  return isComplete ? begin(start, true) : [];
}

function noteEvent(start: ConfigurationBootstrap, event: ConfigurationBootstrapEvent): void {
  if ('configuration' in event) keepNewest(start, event.configuration);
  if ('peer' in event) start.awaited.delete(event.peer);
  if (event.type === 'quorumFailed' || event.type === 'waitOver') start.quorumFailed = true;
  if (event.type === 'waitOver') start.awaited.clear();
}

function keepNewest(start: ConfigurationBootstrap, configuration: Configuration): void {
  const isNewer = start.newest === undefined || configuration.revision > start.newest.revision;
  if (isNewer) start.newest = configuration;
}

/** With no answer at all the instance goes on waiting: it must not serve from empty tables. */
function begin(start: ConfigurationBootstrap, cutOff: boolean): StartedEffect[] {
  if (start.newest === undefined) return [];
  start.started = true;
  return [{ type: 'started', configuration: start.newest, cutOff }];
}
