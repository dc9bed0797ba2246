/**
 * Takes in the platform's list of instances. The list lags: a notice that came another way stays
 * in force although the list still shows the instance as live.
 */
import type { PlatformInstance } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';

export function listInstances(state: EntryState, instances: readonly PlatformInstance[]): void {
  const listed = new Set(instances.map((instance) => instance.instance));
  instances.forEach((instance) => {
    const known = state.backendServers.get(instance.instance);
    if (known === undefined) {
      state.backendServers.set(instance.instance, {
        listed: instance,
        goneAt: instance.goneAt,
        attemptIds: new Set(),
        load: undefined,
        loadReceivedAt: undefined,
      });
      return;
    }
    known.listed = instance;
    known.goneAt ??= instance.goneAt;
  });
  state.backendServers.forEach((server, instance) => {
    if (!listed.has(instance) && server.attemptIds.size === 0) {
      state.backendServers.delete(instance);
    }
  });
}
