/** Entry point of the binary `hornbeampond-entry`. */
import { SystemTimerService, runBinary } from '@hornbeampond/runtime';
import { entrySettingsSchema } from '@hornbeampond/schema';
import { EntryProcess } from './EntryProcess.js';
import { makeHttpDependencies } from './makeHttpDependencies.js';

await runBinary({
  name: 'hornbeampond-entry',
  purpose: 'accepts callers’ requests and relays them to backend servers',
  schema: entrySettingsSchema,
  start: async (settings) => {
    const entry = new EntryProcess(
      settings,
      new SystemTimerService(),
      makeHttpDependencies(settings),
    );
    await entry.start();
    return entry;
  },
});
