/**
 * Replaces the generated blocks of a Markdown page, which are enclosed by marker comments. The rest
 * of the page is written by hand and stays unchanged.
 */

function makeBeginMarker(name: string): string {
  return `<!-- generated: ${name}; "npm run reference" writes it -->`;
}

function makeEndMarker(name: string): string {
  return `<!-- end of ${name} -->`;
}

/** Inserts each block between its markers; throws if the page lacks a marker. */
export function fillBlocks(page: string, blocks: Readonly<Record<string, string>>): string {
  return Object.entries(blocks).reduce((text, [name, content]) => {
    const begin = text.indexOf(makeBeginMarker(name));
    const end = text.indexOf(makeEndMarker(name));
    if (begin < 0 || end < begin) throw new Error(`the page has no markers of "${name}"`);
    const head = text.slice(0, begin + makeBeginMarker(name).length);
    return `${head}\n\n${content}\n\n${text.slice(end)}`;
  }, page);
}
