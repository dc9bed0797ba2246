/** Writes the generated blocks of the pages in `docs/`; run by `npm run reference`. */
import { readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { fillBlocks, makeReferencePages } from '@hornbeampond/schema/reference';

const docs = join(dirname(fileURLToPath(import.meta.url)), '..', 'docs');

Object.entries(makeReferencePages()).forEach(([name, blocks]) => {
  const file = join(docs, name);
  writeFileSync(file, fillBlocks(readFileSync(file, 'utf8'), blocks));
  console.log(`docs/${name} written`);
});
