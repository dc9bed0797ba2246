/**
 * What a subscriber at some revision has to be sent.
 */
import type { Configuration, ConfigurationDelta } from '@hornbeampond/schema';
import { makeConfigurationDelta } from './ConfigurationHistory.js';
import type { MachineState } from './MachineState.js';

export type ConfigurationUpdate =
  | { readonly type: 'whole'; readonly configuration: Configuration }
  | { readonly type: 'delta'; readonly delta: ConfigurationDelta };

/** A delta from the subscriber's revision, or all rows if it is too far behind. */
export function configurationSince(state: MachineState, revision: number): ConfigurationUpdate {
  const delta = makeConfigurationDelta(state.history, state.configuration, revision);
  if (delta !== undefined) return { type: 'delta', delta };
  return { type: 'whole', configuration: state.configuration };
}
