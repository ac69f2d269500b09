/*! stub */
