/**
 * Decides which configuration an instance applies. Revisions only go up: pushes come from several
 * stores and relays, delayed and out of order, and an old one applied after a newer one would
 * restore what operators have replaced.
 */
import { applyDelta, type Configuration, type ConfigurationDelta } from '@hornbeampond/schema';

export interface ConfigurationState {
  configuration: Configuration;
}

export type ConfigurationEffect =
  | { readonly type: 'configurationInForce'; readonly configuration: Configuration }
  /** A delta starts from another revision; the whole configuration must be requested. */
  | { readonly type: 'askWholeConfiguration' };

/** Applies a whole configuration if it is newer than the one in force. */
export function applyConfiguration(
  state: ConfigurationState,
  received: Configuration,
): ConfigurationEffect[] {
  if (received.revision <= state.configuration.revision) return [];
  state.configuration = received;
  return [{ type: 'configurationInForce', configuration: received }];
}

/** Applies a delta if it starts from the revision in force; an outdated one is ignored. */
export function applyConfigurationDelta(
  state: ConfigurationState,
  delta: ConfigurationDelta,
): ConfigurationEffect[] {
  if (delta.toRevision <= state.configuration.revision) return [];
  const updated = applyDelta(state.configuration, delta);
  if (updated === undefined) return [{ type: 'askWholeConfiguration' }];
  return applyConfiguration(state, updated);
}
