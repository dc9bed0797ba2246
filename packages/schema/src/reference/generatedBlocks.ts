/**
 * Blocks of a Markdown page that are made from the code, between marker comments. The rest of the
 * page is written by hand and left as it is.
 */

function makeBeginMarker(name: string): string {
  return `<!-- generated: ${name}; "npm run reference" writes it -->`;
}

function makeEndMarker(name: string): string {
  return `<!-- end of ${name} -->`;
}

/** Puts the blocks between their markers; a page that lacks a marker is an error. */
export function fillBlocks(page: string, blocks: Readonly<Record<string, string>>): string {
  return Object.entries(blocks).reduce((text, [name, content]) => {
    const begin = text.indexOf(makeBeginMarker(name));
    const end = text.indexOf(makeEndMarker(name));
    if (begin < 0 || end < begin) throw new Error(`the page has no markers of "${name}"`);
    const head = text.slice(0, begin + makeBeginMarker(name).length);
    return `${head}\n\n${content}\n\n${text.slice(end)}`;
  }, page);
}
