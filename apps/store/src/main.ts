/** The binary `hornbeampond-store`. */
import { Logger, SystemTimerService, runBinary } from '@hornbeampond/runtime';
import { storeSettingsSchema } from '@hornbeampond/schema';
import { openFolderDisk, stopFailedStore } from './openFolderDisk.js';
import { StoreProcess } from './StoreProcess.js';

await runBinary({
  name: 'hornbeampond-store',
  purpose: 'keeps tables, claims and leases on a replicated log',
  schema: storeSettingsSchema,
  start: async (settings) => {
    const { instance, logLevel } = settings;
    const logger = new Logger({ process: 'hornbeampond-store', instance }, logLevel);
    const disk = openFolderDisk(settings, logger);
    const store = new StoreProcess(
      settings,
      new SystemTimerService(),
      disk,
      (failedStore, failure) => {
        void stopFailedStore(failedStore, disk, failure, logger);
      },
    );
    await store.start();
    return store;
  },
});
