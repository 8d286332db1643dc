import * as v from 'valibot';
import {configurationObjectSchema} from '../objects/configuration_object_schema.js';
import type {ConfigurationDocument} from './configuration_document_types.js';

/** Schema of the configuration document as it is stored. */
export const configurationDocumentSchema: v.GenericSchema<
  unknown,
  ConfigurationDocument
> = v.object({
  changeId: v.string(),
  author: v.string(),
  objects: v.array(configurationObjectSchema),
});
