/**
 * Applies a configuration or a delta only if it is newer than the configuration in force. Pushes
 * may arrive late and out of order, and an old one would restore what operators have replaced. Used
 * by the model in measure/src/machineModels; see ConfigurationFollower for running processes.
 */
import { applyDelta, type Configuration, type ConfigurationDelta } from '@hornbeampond/schema';

export interface ConfigurationState {
  configuration: Configuration;
}

export type ConfigurationEffect =
  | { readonly type: 'configurationInForce'; readonly configuration: Configuration }
  /**
   * The delta does not start from the revision in force; the full configuration must be requested.
   */
  | { readonly type: 'askWholeConfiguration' };

/** Applies a full configuration if it is newer than the one in force. */
export function applyConfiguration(
  state: ConfigurationState,
  received: Configuration,
): ConfigurationEffect[] {
  if (received.revision <= state.configuration.revision) return [];
  state.configuration = received;
  return [{ type: 'configurationInForce', configuration: received }];
}

/**
 * Applies a delta that starts from the revision in force, ignores one that does not lead to a newer
 * revision, and otherwise requests the full configuration.
 */
export function applyConfigurationDelta(
  state: ConfigurationState,
  delta: ConfigurationDelta,
): ConfigurationEffect[] {
  if (delta.toRevision <= state.configuration.revision) return [];
  const updated = applyDelta(state.configuration, delta);
  if (updated === undefined) return [{ type: 'askWholeConfiguration' }];
  return applyConfiguration(state, updated);
}
