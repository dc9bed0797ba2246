/** The binary `hornbeampond-store`. */
import { Logger, SystemTimerService, runBinary } from '@hornbeampond/runtime';
import { storeSettingsSchema } from '@hornbeampond/schema';
import { FolderDisk } from './FolderDisk.js';
import { StoreProcess } from './StoreProcess.js';

await runBinary({
  name: 'hornbeampond-store',
  purpose: 'keeps tables, claims and leases on a replicated log',
  schema: storeSettingsSchema,
  start: async (settings) => {
    const { instance, cluster, dataFolder, logLevel } = settings;
    const logger = new Logger({ process: 'hornbeampond-store', instance }, logLevel);
    const disk = new FolderDisk({
      folder: dataFolder,
      cluster,
      onNotice: ({ type, ...fields }) => {
        const events = {
          opened: 'logOpened',
          tornTailCut: 'tornTailCut',
          diskFull: 'diskFull',
        } as const;
        logger.write(events[type], fields);
      },
    });
    const store = new StoreProcess(settings, new SystemTimerService(), disk);
    await store.start();
    return store;
  },
});
