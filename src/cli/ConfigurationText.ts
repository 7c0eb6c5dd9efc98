/** Text of a configuration: reading it from bytes, and positions of its fields. */
import { isUtf8 } from 'node:buffer';
import { findNodeAtLocation, parseTree, printParseErrorCode, visit, type Node } from 'jsonc-parser';
import type { FieldPath } from '../common/serving/check/Types.js';

/** Position in a text, starting at 1. Columns count UTF-16 code units. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

const LINE_FEED = 0x0a;
const BYTE_ORDER_MARK = '\ufeff';

/** Text of a configuration, with the positions of its fields. */
export class ConfigurationText {
  /** Offsets of the first character of each line. */
  private lineStarts: number[] | undefined;

  private tree: Node | undefined;

  /** @param text - any text; positions of fields are available for valid JSON of bounded nesting */
  constructor(readonly text: string) {}

  /**
   * @param path - path of a field
   * @returns position of its value, or of the nearest enclosing value if the field is absent
   */
  positionOf(path: FieldPath): TextPosition {
    this.tree ??= parseTree(this.text);
    let node = this.tree;
    for (let length = path.length; this.tree && length > 0; length -= 1) {
      const found = findNodeAtLocation(this.tree, path.slice(0, length));
      if (found) {
        node = found;
        break;
      }
    }
    return this.positionAt(node?.offset ?? 0);
  }

  /** @returns position and name of the first syntax error; undefined if none is found */
  syntaxError(): { readonly position: TextPosition; readonly message: string } | undefined {
    let first: { offset: number; code: number } | undefined;
    const onError = (code: number, offset: number) => {
      first ??= { offset, code };
    };
    try {
      visit(this.text, { onError }, { disallowComments: true });
    } catch (error) {
      // The parser is recursive: deep nesting overflows the stack.
      if (!(error instanceof RangeError)) throw error;
    }
    if (!first) return undefined;
    return {
      position: this.positionAt(first.offset),
      message: describeSyntaxError(printParseErrorCode(first.code)),
    };
  }

  private positionAt(offset: number): TextPosition {
    this.lineStarts ??= lineStartsOf(this.text);
    const starts = this.lineStarts;
    let low = 0;
    let high = starts.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (starts[middle]! <= offset) low = middle;
      else high = middle - 1;
    }
    return { line: low + 1, column: offset - starts[low]! + 1 };
  }
}

/**
 * Decodes the bytes of a file.
 * @param bytes - content
 * @returns the text, or why it is none
 */
export function decodeText(
  bytes: Buffer,
): { readonly ok: true; readonly text: string } | { readonly ok: false; readonly message: string } {
  if (!isUtf8(bytes)) {
    return { ok: false, message: `not UTF-8, first in line ${firstInvalidLine(bytes)}` };
  }
  const text = bytes.toString('utf8');
  if (!text.startsWith(BYTE_ORDER_MARK)) return { ok: true, text };
  return { ok: false, message: 'not JSON: begins with a byte order mark' };
}

/** @returns number of the first line that is not UTF-8; a line feed is never part of a character */
function firstInvalidLine(bytes: Buffer): number {
  let line = 1;
  let start = 0;
  for (;;) {
    const end = bytes.indexOf(LINE_FEED, start);
    if (end < 0 || !isUtf8(bytes.subarray(start, end))) return line;
    start = end + 1;
    line += 1;
  }
}

/** @returns for example `value expected` for the code `ValueExpected` */
function describeSyntaxError(code: string): string {
  return code.replace(/(?!^)[A-Z]/g, (letter) => ` ${letter}`).toLowerCase();
}

function lineStartsOf(text: string): number[] {
  const starts = [0];
  for (let end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', end + 1)) {
    starts.push(end + 1);
  }
  return starts;
}
