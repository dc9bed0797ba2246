import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ReportCrashCommand } from '@hornbeampond/schema';
import { applyCommand } from './applyCommand.js';
import { MachineState } from './MachineState.js';
import { quarantineAt } from './quarantine.js';

/** Splits the digests of a crash among the entries that own them; each entry reports its own. */
function splitCrashReport(crashId: string, digests: readonly string[], owners: readonly number[]) {
  const parts = new Map<number, string[]>();
  digests.forEach((digest, position) => {
    const owner = owners[position] ?? 0;
    parts.set(owner, [...(parts.get(owner) ?? []), digest]);
  });
  return [...parts.values()].map((part): ReportCrashCommand => ({
    type: 'reportCrash',
    backendServer: 'buylist-1',
    crashId,
    digests: part,
  }));
}

// A poison request causes a crash while it runs in a batch, then two more while it runs beside newer
// requests only. Entries report parts of each crash, each part twice and in any order. Guards against
// quarantining a harmless request.
test('machine: when suspects do not run together again, only the culprit is quarantined', () => {
  const owners = fc.array(fc.nat(2), { minLength: 8, maxLength: 8 });
  const batchSize = fc.integer({ min: 1, max: 6 });
  const picks = fc.infiniteStream(fc.nat());
  fc.assert(
    fc.property(batchSize, owners, picks, (size, ownedBy, order) => {
      const batch = Array.from({ length: size }, (_unused, position) => `lot-${position}`);
      const reports = [
        ...splitCrashReport('one', ['bad', ...batch], ownedBy),
        ...splitCrashReport('two', ['new-1', 'bad', 'new-2'], ownedBy),
        ...splitCrashReport('three', ['bad', 'new-3'], ownedBy),
      ];
      const state = new MachineState();
      const pending = [...reports, ...reports];
      for (let at = 1; pending.length > 0; at += 1) {
        const pick = Number(order.next().value) % pending.length;
        const [command] = pending.splice(pick, 1);
        if (command !== undefined) applyCommand(state, { at, command });
        const quarantined = quarantineAt(state, at).map(({ digest }) => digest);
        assert.ok(
          quarantined.every((digest) => digest === 'bad'),
          `${quarantined.join()} are quarantined`,
        );
      }
      assert.deepEqual(
        quarantineAt(state, 100).map(({ digest }) => digest),
        ['bad'],
      );
    }),
    { seed: 20261203, numRuns: 2000 },
  );
});
