/**
 * Program of one process of `EntryGroup`: an entry whose paths to backend servers can be cut. It sends its
 * ports once it has started; then each message is a kind of cut, and is answered once that is in force.
 */
import { EntryProcess, makeHttpDependencies } from '@hornbeampond/entry-app';
import { SystemTimerService } from '@hornbeampond/runtime';
import { entrySettingsSchema } from '@hornbeampond/schema';
import { CuttableConnector, type CutKind } from '@hornbeampond/testing';

const settings = entrySettingsSchema.parse(JSON.parse(process.argv[2] ?? ''));
const connector = new CuttableConnector();
const dependencies = { ...makeHttpDependencies(settings), connector };
const entry = new EntryProcess(settings, new SystemTimerService(), dependencies);

process.on('message', (kind: CutKind) => {
  void connector.setCut(kind).then(() => process.send?.('cut'));
});
// The test that started it has ended.
process.on('disconnect', () => process.exit());
process.send?.(await entry.start());
