/**
 * Determines the update that brings a subscriber to the current configuration.
 */
import type { Configuration, ConfigurationDelta } from '@hornbeampond/schema';
import { makeConfigurationDelta } from './ConfigurationHistory.js';
import type { MachineState } from './MachineState.js';

export type ConfigurationUpdate =
  | { readonly type: 'whole'; readonly configuration: Configuration }
  | { readonly type: 'delta'; readonly delta: ConfigurationDelta };

/** A delta from the subscriber's revision, or the whole configuration if no delta can be made. */
export function configurationSince(state: MachineState, revision: number): ConfigurationUpdate {
  const delta = makeConfigurationDelta(state.history, state.configuration, revision);
  if (delta !== undefined) return { type: 'delta', delta };
  return { type: 'whole', configuration: state.configuration };
}
