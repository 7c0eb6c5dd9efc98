import { request } from 'undici';
import {
  CONFIGURATION_TABLE,
  Change,
  type Account,
  type Template,
} from '../../common/protocol/Configuration.js';

const SCAN_LIMIT = 1000;

/** Templates and accounts, updated from the change log of the table service at each read. */
export class NaiveConfiguration {
  private readonly templates = new Map<string, Template>();

  private readonly accounts = new Map<string, Account>();

  /** @param tableUrl - URL of the table service */
  constructor(private readonly tableUrl: string) {}

  /** Reads all changes from the table service and applies them in order. */
  async load(): Promise<void> {
    const response = await request(`${this.tableUrl}/v1/scan`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ table: CONFIGURATION_TABLE, prefix: 'change/', limit: SCAN_LIMIT }),
    });
    const body = (await response.body.json()) as { rows?: { value: unknown }[] };
    (body.rows ?? []).forEach((row) => this.apply(Change.parse(row.value)));
  }

  /**
   * @param name - template name
   * @returns template, or undefined if it does not exist
   */
  template(name: string): Template | undefined {
    return this.templates.get(name);
  }

  /**
   * @param tokenDigest - SHA-256 of the caller's token
   * @returns account, or undefined if no account has this token
   */
  account(tokenDigest: string): Account | undefined {
    return this.accounts.get(tokenDigest);
  }

  private apply({ subject }: Change): void {
    if (subject.kind === 'template') this.templates.set(subject.value.name, subject.value);
    if (subject.kind === 'account') this.accounts.set(subject.value.tokenDigest, subject.value);
    if (subject.kind === 'template-retired') this.templates.delete(subject.name);
  }
}
